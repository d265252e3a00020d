#include "stand_ins/programs/options.h"
#include "stand_ins/programs/run_target.h"
#include "stand_ins/stand_in_engine.h"

using namespace kingcupcart::stand_ins;

int main(int argc, char** argv) {
    const program_options command_line = read_program_options(argc, argv);
    engine_options options;
    options.target = command_line.target;
    options.first_token_delay = command_line.initial_delay;
    options.token_interval = command_line.token_interval;
    options.weight_version = command_line.weight_version;
    return run_target<stand_in_engine>(options);
}
