/// tm_fault_proxy: a TCP proxy that puts faults into connections.
#include "fault_proxy.h"
#include "libtmstandin/standin_shell.h"

int main(int argc, char** argv) {
  return trefoilmill::RunStandin<trefoilmill::fault_proxy>(argc, argv);
}
