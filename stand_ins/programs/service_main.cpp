#include "stand_ins/programs/options.h"
#include "stand_ins/programs/run_target.h"
#include "stand_ins/stand_in_service.h"

using namespace kingcupcart::stand_ins;

int main(int argc, char** argv) {
    const program_options command_line = read_program_options(argc, argv);
    service_options options;
    options.target = command_line.target;
    options.response_delay = command_line.initial_delay;
    return run_target<stand_in_service>(options);
}
