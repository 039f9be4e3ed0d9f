#include "commands.h"

namespace parsleyvane::ctl {

std::string askQuestions()
{
    return {};
}

} // namespace parsleyvane::ctl
