#include "command/command_line.h"

int main(int count, char** words) {
    return kingcupcart::command::run_command_line(count, words, KINGCUPCART_VERSION);
}
