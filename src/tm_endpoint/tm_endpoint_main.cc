#include "libtmstandin/standin_shell.h"
#include "tm_endpoint/endpoint_process.h"

int main(int argc, char** argv) {
  return trefoilmill::RunStandin<trefoilmill::endpoint_process>(argc, argv);
}
