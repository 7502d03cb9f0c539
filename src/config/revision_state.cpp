#include "config/revision_state.h"

#include <algorithm>

namespace lemonchute::config {

const char* ToString(UpdateSource source) {
  switch (source) {
    case UpdateSource::kFile: return "file";
    case UpdateSource::kOperatorUpdate: return "put";
    case UpdateSource::kRollback: return "roll back";
    case UpdateSource::kAutomaticRollback: return "return";
  }
  return "";
}

const Revision* State::Find(uint64_t number) const {
  auto found = std::find_if(revisions.begin(), revisions.end(),
                            [number](const Revision& revision) { return revision.number == number; });
  return found == revisions.end() ? nullptr : &*found;
}

}  // namespace lemonchute::config
