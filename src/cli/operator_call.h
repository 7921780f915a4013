// Calls the operators' API of one VM. A call is retried with the same operation
// id as long as its outcome is unknown.
#ifndef CLI_OPERATOR_CALL_H_
#define CLI_OPERATOR_CALL_H_

#include <cstddef>
#include <functional>
#include <string>

#include "base/error.h"
#include "cli/command_line.h"

namespace baobabrun::cli {

struct HttpReply {
  int status = 0;  // HTTP status; 0 if no complete answer arrived
  // Whether the request may have reached the VM.
  bool sent = false;
  std::string body;   // body of the answer
  std::string error;  // why there is no complete answer, else empty
};
using HttpSend = std::function<HttpReply(const std::string& method,
                                         const std::string& path,
                                         const std::string& body)>;

// A longer answer isn't accepted.
inline constexpr std::size_t kMaxAnswerBytes = std::size_t{64} << 20;

// Sends one call with the operators' key to the VM at `at` (HOST:PORT).
HttpReply SendOverHttp(const std::string& at,
                       const std::string& key,
                       const std::string& method,
                       const std::string& path,
                       const std::string& body);

struct CallOutcome {
  int exit_code = 0;
  std::string body;  // JSON; empty if no answer arrived
  std::string error;
};

// Sends the call until there is a definite answer, at most four times, and
// calls `wait` before each retry. `body` must contain an operation id if the
// call changes anything, so that a retry doesn't run it twice.
CallOutcome CallOperator(const HttpSend& send,
                         const std::string& method,
                         const std::string& path,
                         const std::string& body,
                         const std::function<void()>& wait);

// The options that all commands for operators share.
struct OperatorArguments {
  std::string at = "127.0.0.1:8081";
  std::string key_file;
  bool json = false;

  void AddTo(CommandLine& line);
};

// Returns a function that sends calls over HTTP to the VM at `arguments.at`.
// Errors: std::errc::invalid_argument if the key file can't be read or is
// empty.
Result<HttpSend> MakeHttpSend(const OperatorArguments& arguments);

// Makes the call, prints its outcome and returns the exit code.
int RunOperatorCall(const OperatorArguments& arguments,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body);

// Prints the answer as readable text, or unchanged if `json` is true.
void PrintOutcome(const CallOutcome& outcome, bool json);

// Returns a new random operation id.
std::string NewOperationId();

}  // namespace baobabrun::cli

#endif  // CLI_OPERATOR_CALL_H_
