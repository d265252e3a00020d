#include "stand_ins/programs/options.h"
#include "stand_ins/programs/run_target.h"
#include "stand_ins/stand_in_service.h"

using namespace kingcupcart::stand_ins;

int main(int count, char** words) {
    const program_options given = read_program_options(count, words);
    service_options options;
    options.target = given.target;
    options.delay = given.first;
    return run_target<stand_in_service>(options);
}
