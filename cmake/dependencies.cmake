# Finds all dependencies, and stops with the names of the Debian packages that are
# missing.
set(missing_packages)

# baobab_find(<Debian package> <find_package arguments>...)
macro(baobab_find debian_package name)
    find_package(${name} QUIET ${ARGN})
    if(NOT ${name}_FOUND)
        list(APPEND missing_packages ${debian_package})
    endif()
endmacro()

# baobab_find_module(<Debian package> <prefix> <pkg-config module>...)
macro(baobab_find_module debian_package prefix)
    if(PkgConfig_FOUND)
        pkg_check_modules(${prefix} QUIET IMPORTED_TARGET ${ARGN})
    endif()
    if(NOT ${prefix}_FOUND)
        list(APPEND missing_packages ${debian_package})
    endif()
endmacro()

baobab_find(pkg-config PkgConfig)
baobab_find_module(libglib2.0-dev glib glib-2.0 gio-2.0 gio-unix-2.0)
baobab_find_module(libsoup-3.0-dev soup libsoup-3.0)
baobab_find_module(libsodium-dev sodium libsodium)
baobab_find_module(libxxhash-dev xxhash libxxhash)
baobab_find(nlohmann-json3-dev nlohmann_json)
baobab_find(prometheus-cpp-dev prometheus-cpp CONFIG)
baobab_find("libboost-dev;libboost-log-dev" Boost COMPONENTS headers log)
baobab_find(libcereal-dev cereal)
baobab_find(libcxxopts-dev cxxopts)
find_package(Threads REQUIRED)
if(BAOBAB_BUILD_TESTS)
    baobab_find(libgtest-dev GTest)
    baobab_find(librapidcheck-dev rapidcheck)
endif()

if(missing_packages)
    list(JOIN missing_packages " " missing_packages)
    message(FATAL_ERROR
        "Missing Debian packages: ${missing_packages}\n"
        "Install them with utils/install-deps, then run cmake again.")
endif()
