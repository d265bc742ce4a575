#pragma once

#include "base/error.h"
#include "configuration/types.h"

namespace hickorymount::configuration {

/// Returns a copy without the operator's document and the names of routes, as entry hosts hold it.
versioned_configuration without_operator_texts(const versioned_configuration& source);

/// Returns the changes that turn `base` into `target`.
configuration_difference make_difference(const versioned_configuration& base,
                                         const versioned_configuration& target);

/// Applies the changes to `current`. Routes may get another order, which has no meaning. Fails if the
/// difference has another base or names settings that it lacks.
result<versioned_configuration> apply_difference(const versioned_configuration& current,
                                                 const configuration_difference& difference);

} // namespace hickorymount::configuration
