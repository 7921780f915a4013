// `baobabrun explain`: finds out from the VMs' logs how a call ended and why.
#ifndef EXPLAIN_EXPLAIN_COMMAND_H_
#define EXPLAIN_EXPLAIN_COMMAND_H_

namespace baobabrun {

int RunExplain(int argc, const char** argv);

}  // namespace baobabrun

#endif  // EXPLAIN_EXPLAIN_COMMAND_H_
