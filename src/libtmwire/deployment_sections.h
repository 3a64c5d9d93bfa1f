/// Reads the sections of a template that hold for the whole deployment.
#ifndef TREFOILMILL_LIBTMWIRE_DEPLOYMENT_SECTIONS_H_
#define TREFOILMILL_LIBTMWIRE_DEPLOYMENT_SECTIONS_H_

#include "object_reader.h"
#include "trefoilmill/deployment.h"

namespace trefoilmill {

/// Reads "query", "scheduling", "membership" and "entries" of the template;
/// what is missing keeps its default.
void ReadSections(object_reader& shared_template, deployment& out);

/// The sections of `value` as members of a template.
json SectionsJson(const deployment& value);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMWIRE_DEPLOYMENT_SECTIONS_H_
