// The command `baobabrun gateway`, which runs one VM's process that serves by a
// manifest.
#ifndef GATEWAY_GATEWAY_COMMAND_H_
#define GATEWAY_GATEWAY_COMMAND_H_

#include "gateway/dialect.h"

namespace baobabrun::cli {

int RunGateway(int argc, const char** argv, Dialect dialect);

}  // namespace baobabrun::cli

#endif  // GATEWAY_GATEWAY_COMMAND_H_
