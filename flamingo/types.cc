#include "flamingo/types.h"

namespace flamingo {

std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not_run";
    case Verdict::MayHaveRun:
        return "may_have_run";
    case Verdict::Ran:
        return "ran";
    }
    return "invalid";
}

std::string_view reasonName(ReasonCode code)
{
    return wire::EnumNameReasonCode(code);
}

} // namespace flamingo
