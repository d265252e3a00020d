#include "stand_ins/programs/options.h"
#include "stand_ins/programs/run_target.h"
#include "stand_ins/stand_in_engine.h"

using namespace kingcupcart::stand_ins;

int main(int count, char** words) {
    const program_options given = read_program_options(count, words);
    engine_options options;
    options.target = given.target;
    options.first_token = given.first;
    options.token_interval = given.interval;
    options.version = given.version;
    return run_target<stand_in_engine>(options);
}
