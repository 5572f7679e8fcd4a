# For newcomers: commands that do everything on a fresh machine. The build itself is CMake's.
.PHONY: demo mesh-demo test

build/make/CMakeCache.txt:
	.ci/packages build
	cmake -S . -B build/make -DCMAKE_BUILD_TYPE=Release

# Stand-in servers and a sidecar, some seconds of mixed traffic, one server killed midway.
demo: build/make/CMakeCache.txt
	cmake --build build/make -j4 --target fennelhollow fennelhollow_demo
	build/make/fennelhollow_demo build/make/fennelhollow

# The mesh: cores and sidecars as processes, a core and a server killed in the midst of traffic.
mesh-demo: build/make/CMakeCache.txt
	cmake --build build/make -j4 --target fennelhollow-node fennelhollow_mesh_demo
	build/make/rig/mesh/fennelhollow_mesh_demo build/make/src/mesh/node/fennelhollow-node

test: build/make/CMakeCache.txt
	cmake --build build/make -j4
	ctest --test-dir build/make --output-on-failure -j4
