#include "command/command_line.h"

int main(int argc, char** argv) {
    return kingcupcart::command::run_command_line(argc, argv, KINGCUPCART_VERSION);
}
