// Source file of the target that compiles the precompiled headers listed in CMakeLists.txt.
