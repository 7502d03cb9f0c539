/// Text form of the revisions' state in the revision log: a header line with format, length and checksum,
/// then the state as one line of JSON.
#ifndef LEMONCHUTE_CONFIG_REVISION_CODEC_H_
#define LEMONCHUTE_CONFIG_REVISION_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "config/revision_state.h"

namespace lemonchute::config {

std::string SerializeState(const State& state);

/// @return nothing for a text that is truncated, damaged, of another format or inconsistent.
std::optional<State> ParseState(std::string_view text);

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_REVISION_CODEC_H_
