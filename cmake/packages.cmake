# baobab_package(<name> [<dependency>...]): defines the static library
# baobab_<name> from the .cpp files of the current directory, with its headers in
# include/baobabloft/<name>, and exports it as baobabloft::<name>.
function(baobab_package name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(baobab_${name} STATIC ${sources})
    add_library(baobabloft::${name} ALIAS baobab_${name})
    set_target_properties(baobab_${name} PROPERTIES EXPORT_NAME ${name})
    target_include_directories(baobab_${name} PUBLIC
        $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
        $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
    target_link_libraries(baobab_${name} PUBLIC ${ARGN})
    install(TARGETS baobab_${name} EXPORT baobabloft-targets
        ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
endfunction()
