// The command of the stand-ins: `baobabrun standin engine|service`.
#ifndef STANDIN_COMMANDS_H_
#define STANDIN_COMMANDS_H_

namespace baobabrun::standin {

// Runs until SIGTERM, then finishes its requests; see cli::Command.
int RunStandin(int argc, const char** argv);

}  // namespace baobabrun::standin

#endif  // STANDIN_COMMANDS_H_
