#include "commands.hpp"

int main(int argc, char **argv)
{
    return flamingo::run(argc, argv);
}
