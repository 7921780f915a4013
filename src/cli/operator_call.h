// A call to the operators' API of one VM, sent again with the same operation id
// while its outcome is unknown.
#ifndef CLI_OPERATOR_CALL_H_
#define CLI_OPERATOR_CALL_H_

#include <functional>
#include <string>

#include "base/error.h"
#include "cli/command_line.h"

namespace baobabrun::cli {

struct HttpReply {
  int status = 0;  // 0: no whole answer came
  // Whether the request may have reached the VM.
  bool sent = false;
  std::string body;   // of the answer
  std::string error;  // why there is none
};
using HttpSend = std::function<HttpReply(const std::string& method,
                                         const std::string& path,
                                         const std::string& body)>;

struct CallOutcome {
  int exit_code = 0;
  std::string body;  // JSON, or empty if no answer came
  std::string error;
};

// Sends until there is a definite answer, a few times at most; `wait` is called
// in between. `body` must carry an operation id if it changes anything.
CallOutcome CallOperator(const HttpSend& send,
                         const std::string& method,
                         const std::string& path,
                         const std::string& body,
                         const std::function<void()>& wait);

// The options that all operators' commands share.
struct OperatorArguments {
  std::string at = "127.0.0.1:8081";
  std::string key_file;
  bool json = false;

  void AddTo(CommandLine& line);
};

// Sends over HTTP as `arguments` say. Errors: std::errc, if the key file can't
// be read.
Result<HttpSend> MakeHttpSend(const OperatorArguments& arguments);

// Makes the call, prints the answer and returns the exit code.
int RunOperatorCall(const OperatorArguments& arguments,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body);

// Prints an answer for people, or as it came if `json`.
void PrintOutcome(const CallOutcome& outcome, bool json);

// A fresh operation id.
std::string NewOperationId();

}  // namespace baobabrun::cli

#endif  // CLI_OPERATOR_CALL_H_
