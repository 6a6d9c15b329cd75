#include <cstdio>

int main()
{
    std::fprintf(stderr, "usage: celeryline-testkit runner|worker|load [options]\n");
    return 2;
}
