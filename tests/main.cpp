#include "suite.h"

int main()
{
    return parsleyvane::test::runAll();
}
