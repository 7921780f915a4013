// Options and arguments of one command, by popt, which also makes --help.
#ifndef CLI_COMMAND_LINE_H_
#define CLI_COMMAND_LINE_H_

#include <optional>
#include <string>
#include <vector>

namespace baobabrun::cli {

class CommandLine {
 public:
  // `arguments` stands in --help after the name: "DIR", or "add ID".
  CommandLine(std::string name, const std::string& arguments);

  void Add(std::string option,
           char letter,
           std::string help,
           std::string value_name,
           std::string* out);
  void AddFlag(std::string option, std::string help, bool* out);

  // Reads the options; `argv[0]` is the command's name. Returns an exit code if
  // they are bad, having told why. --help prints the options and ends the
  // program.
  std::optional<int> Parse(int argc, const char** argv);

  // What stands besides options, in order.
  const std::vector<std::string>& arguments() const { return found_; }
  // Prints `reason` and returns kExitBadInput.
  int Refuse(const std::string& reason) const;

 private:
  struct Option {
    std::string name;
    char letter = 0;  // 0: none
    std::string help;
    std::string value_name;
    std::string* text = nullptr;  // one of these two is set
    bool* flag = nullptr;
    char* parsed_text = nullptr;  // owned until copied into `text`
    int parsed_flag = 0;
  };

  const std::string name_;
  const std::string usage_;
  std::vector<Option> options_;
  std::vector<std::string> found_;
};

}  // namespace baobabrun::cli

#endif  // CLI_COMMAND_LINE_H_
