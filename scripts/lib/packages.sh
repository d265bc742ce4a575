# Functions that install the packages of the build and build into build/. To be sourced; needs ROOT.

PACKAGES="g++ cmake ninja-build pkg-config libcivetweb-dev libwebsocketpp-dev libboost1.81-dev libpopt-dev \
libfmt-dev libtomlplusplus-dev nlohmann-json3-dev libgtest-dev libbenchmark-dev libxxhash-dev libsodium-dev curl"

# install_packages [PACKAGE…]: installs the packages of the build, and PACKAGE…, where they are missing
install_packages() {
    local missing=""
    for package in $PACKAGES "$@"; do
        dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $package"
    done
    [ -z "$missing" ] && return 0
    echo "installing:$missing" >&2
    apt-get update -qq >&2
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >&2
}

build_all() {
    cmake -S "$ROOT" -B "$ROOT/build" -G Ninja >"$ROOT/build.log" 2>&1 || { cat "$ROOT/build.log" >&2; return 1; }
    ninja -C "$ROOT/build" >"$ROOT/build.log" 2>&1 || { tail -50 "$ROOT/build.log" >&2; return 1; }
}
