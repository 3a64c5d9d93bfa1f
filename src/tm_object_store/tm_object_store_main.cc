#include "libtmstandin/standin_shell.h"
#include "tm_object_store/store_process.h"

int main(int argc, char** argv) {
  return trefoilmill::RunStandin<trefoilmill::store_process>(argc, argv);
}
