// Declares the commands for operators. Each is defined in a file of its own.
#ifndef CLI_OPERATOR_COMMANDS_H_
#define CLI_OPERATOR_COMMANDS_H_

namespace baobabrun::cli {

int RunCheck(int argc, const char** argv);
int RunApply(int argc, const char** argv);
int RunKey(int argc, const char** argv);
int RunEndpoint(int argc, const char** argv);
int RunStatus(int argc, const char** argv);
int RunKeygen(int argc, const char** argv);
int RunKeyhash(int argc, const char** argv);

}  // namespace baobabrun::cli

#endif  // CLI_OPERATOR_COMMANDS_H_
