// Parses the options and arguments of one command with popt, which also prints
// the text of --help.
#ifndef CLI_COMMAND_LINE_H_
#define CLI_COMMAND_LINE_H_

#include <optional>
#include <string>
#include <vector>

namespace baobabrun::cli {

class CommandLine {
 public:
  // --help prints `arguments` after the options, for example "DIR" or "add ID".
  CommandLine(std::string name, const std::string& arguments);

  void Add(std::string option,
           char letter,
           std::string help,
           std::string value_name,
           std::string* out);
  void AddFlag(std::string option, std::string help, bool* out);

  // Parses the options; `argv[0]` is the command's name. If they are invalid,
  // prints the reason and returns an exit code. --help prints the options and
  // ends the program.
  std::optional<int> Parse(int argc, const char** argv);

  // The arguments that aren't options, in order.
  const std::vector<std::string>& arguments() const { return found_; }
  // Prints `reason` as a usage error and returns kExitBadInput.
  int ReportUsageError(const std::string& reason) const;

 private:
  struct Option {
    std::string name;
    char letter = 0;  // 0 if there is no short option
    std::string help;
    std::string value_name;
    std::string* text = nullptr;  // exactly one of `text` and `flag` is set
    bool* flag = nullptr;
    char* parsed_text = nullptr;  // owned until it is copied to `text`
    int parsed_flag = 0;
  };

  const std::string name_;
  const std::string usage_;
  std::vector<Option> options_;
  std::vector<std::string> found_;
};

}  // namespace baobabrun::cli

#endif  // CLI_COMMAND_LINE_H_
