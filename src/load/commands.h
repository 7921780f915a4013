// The command `baobabrun load`, which runs the load tool.
#ifndef LOAD_COMMANDS_H_
#define LOAD_COMMANDS_H_

namespace baobabrun::load {

// See cli::Command. Returns a failure if an answer was cut, wrong or doubled.
int RunLoad(int argc, const char** argv);

}  // namespace baobabrun::load

#endif  // LOAD_COMMANDS_H_
