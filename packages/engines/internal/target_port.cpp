#include "engines/target_port.h"
