// Only carries the precompiled headers that CMakeLists.txt lists.
