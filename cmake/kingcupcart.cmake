# kingcupcart_package(NAME SOURCES … LINKS …): adds the static library of a package. Other packages
# include the headers at its root as "NAME/header.h".
function(kingcupcart_package name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_library(kingcupcart_${name} STATIC ${ARG_SOURCES})
    add_library(kingcupcart::${name} ALIAS kingcupcart_${name})
    target_include_directories(kingcupcart_${name} PUBLIC ${PROJECT_SOURCE_DIR}/packages)
    target_link_libraries(kingcupcart_${name} PUBLIC ${ARG_LINKS} PRIVATE kingcupcart_warnings)
endfunction()

# kingcupcart_test(NAME SOURCES… LINKS … EXCLUDE …): adds the doctest program of a package and its CTest
# entry. EXCLUDE names test cases that show a known failure; each has an entry in KNOWN-RED.txt.
function(kingcupcart_test name)
    if(NOT KINGCUPCART_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "EXCLUDE" "LINKS" ${ARGN})
    add_executable(${name}_test ${ARG_UNPARSED_ARGUMENTS})
    target_link_libraries(${name}_test PRIVATE kingcupcart::${name} ${ARG_LINKS} kingcupcart_test_main
                          kingcupcart_warnings)
    set(arguments "")
    if(ARG_EXCLUDE)
        set(arguments "--test-case-exclude=${ARG_EXCLUDE}")
    endif()
    add_test(NAME ${name} COMMAND ${name}_test ${arguments})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
