// Names of the losses in reports.
#include "model/losses.h"

namespace lemonchute::lab {

const char* Name(Loss loss) {
  switch (loss) {
    case Loss::kUnanswered: return "unanswered";
    case Loss::kServed: return "served";
    case Loss::kRefusedNeedlessly: return "refused needlessly";
    case Loss::kRefusedForQuota: return "refused for its quota";
    case Loss::kRefusedForCap: return "refused for its cap";
    case Loss::kRefusedNoCapacity: return "refused for want of room";
    case Loss::kServedOverQuota: return "served beyond its quota";
    case Loss::kServedLate: return "served late";
    case Loss::kFailed: return "failed";
    case Loss::kGatewayUnreachable: return "not heard by a gateway";
    case Loss::kNoAnswer: return "no answer in its time";
    case Loss::kCount: break;
  }
  return "";
}

}  // namespace lemonchute::lab
