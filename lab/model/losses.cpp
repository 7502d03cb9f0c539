// The names of losses in reports.
#include "model/losses.h"

namespace lemonchute::lab {

const char* Name(Loss loss) {
  switch (loss) {
    case Loss::kUnanswered: return "unanswered";
    case Loss::kServed: return "served";
    case Loss::kNeedless: return "refused needlessly";
    case Loss::kForQuota: return "refused for its quota";
    case Loss::kForCap: return "refused for its cap";
    case Loss::kForRoom: return "refused for want of room";
    case Loss::kBeyond: return "served beyond its quota";
    case Loss::kLate: return "served late";
    case Loss::kFailed: return "failed";
    case Loss::kUnheard: return "not heard by a gateway";
    case Loss::kLeft: return "no answer in its time";
    case Loss::kCount: break;
  }
  return "";
}

}  // namespace lemonchute::lab
