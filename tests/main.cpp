/// \file Entry point shared by every CppUTest program of the project.

#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv) { return CommandLineTestRunner::RunAllTests(argc, argv); }
