// The command `baobabrun standin engine|service`, which runs a stand-in of an
// endpoint.
#ifndef STANDIN_COMMANDS_H_
#define STANDIN_COMMANDS_H_

namespace baobabrun::standin {

// Runs a stand-in until SIGTERM, then finishes its requests and returns an exit
// code. See cli::Command.
int RunStandin(int argc, const char** argv);

}  // namespace baobabrun::standin

#endif  // STANDIN_COMMANDS_H_
