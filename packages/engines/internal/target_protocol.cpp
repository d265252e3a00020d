#include "engines/target_protocol.h"
