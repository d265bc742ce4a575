#include "sessions/internal/admission.h"

namespace hickorymount::sessions::detail {

namespace {

/// Factor by which the estimated wait has to exceed the remaining time.
constexpr double tolerance = 1.5;

} // namespace

bool may_be_answered(const expected_wait& wait, milliseconds remaining)
{
    if (!wait.drained_per_second || wait.ahead < 1) {
        return true;
    }
    const double remaining_s = static_cast<double>(remaining.count()) / 1000;
    return wait.ahead <= *wait.drained_per_second * remaining_s * tolerance;
}

} // namespace hickorymount::sessions::detail
