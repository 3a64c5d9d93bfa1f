/// `validate` and `render`: work on files only.
#include <iostream>
#include <iterator>

#include "commands.h"
#include "files.h"
#include "trefoilmill/wire/catalog_codec.h"
#include "trefoilmill/wire/deployment_codec.h"

namespace trefoilmill {

exit_code Run(const common_options& common,
              daemon_api& /*api*/,
              const validate_options& options) {
  std::vector<config_error> errors;
  for (const std::string& file : options.files) {
    std::ranges::move(CheckFile(file), std::back_inserter(errors));
  }
  if (!errors.empty() || common.json) {
    PrintErrors(errors, common.json);
  }
  return errors.empty() ? exit_code::kDone : exit_code::kInvalid;
}

exit_code Run(const common_options& common,
              daemon_api& /*api*/,
              const render_options& options) {
  const load_outcome loaded = LoadDeployment(options.file);
  if (!loaded.value.has_value()) {
    PrintErrors(loaded.errors, common.json);
    return exit_code::kInvalid;
  }
  if (options.catalog.has_value()) {
    std::cout << WriteCatalog(DefaultCatalog(
                     loaded.value->value, snapshot_version(*options.catalog)))
              << "\n";
  } else {
    std::cout << WriteDeployment(loaded.value->value) << "\n";
  }
  return exit_code::kDone;
}

}  // namespace trefoilmill
