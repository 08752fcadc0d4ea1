# Builds the version of pitchfall that deploy/service.toml records as `production`,
# for tests in which it runs beside the current version. Its sources are taken from
# the repository's history. Its namespace, macros, include paths and schema id are
# renamed so that both versions can be linked into one program; none of these is
# part of the data that it stores or sends.
file(STRINGS ${PROJECT_SOURCE_DIR}/deploy/service.toml PRODUCTION_LINE
     REGEX "^production = \"[0-9a-f]+\"$")
string(REGEX REPLACE "^production = \"([0-9a-f]+)\"$" "\\1" PRODUCTION_COMMIT
       "${PRODUCTION_LINE}")
if(NOT PRODUCTION_COMMIT)
  message(FATAL_ERROR "deploy/service.toml names no production commit")
endif()
set(PRODUCTION_DIR ${CMAKE_CURRENT_BINARY_DIR}/production)
set(PRODUCTION_SOURCES ${PRODUCTION_DIR}/include/production)
if(NOT EXISTS ${PRODUCTION_DIR}/${PRODUCTION_COMMIT})
  find_package(Git REQUIRED)
  file(REMOVE_RECURSE ${PRODUCTION_DIR})
  file(MAKE_DIRECTORY ${PRODUCTION_DIR}/include ${PRODUCTION_DIR}/capnp)
  execute_process(
    COMMAND ${GIT_EXECUTABLE} archive --output=${PRODUCTION_DIR}/sources.tar
            ${PRODUCTION_COMMIT} src/core src/wire
    WORKING_DIRECTORY ${PROJECT_SOURCE_DIR}
    RESULT_VARIABLE PRODUCTION_ARCHIVED)
  if(NOT PRODUCTION_ARCHIVED EQUAL 0)
    message(FATAL_ERROR
      "The repository's history lacks the production commit "
      "${PRODUCTION_COMMIT}; the tests of mixed versions need a full clone.")
  endif()
  file(ARCHIVE_EXTRACT INPUT ${PRODUCTION_DIR}/sources.tar
       DESTINATION ${PRODUCTION_DIR})
  file(RENAME ${PRODUCTION_DIR}/src ${PRODUCTION_SOURCES})
  file(GLOB_RECURSE PRODUCTION_FILES ${PRODUCTION_SOURCES}/*.h
       ${PRODUCTION_SOURCES}/*.cc ${PRODUCTION_SOURCES}/*.capnp)
  foreach(PRODUCTION_FILE ${PRODUCTION_FILES})
    file(READ ${PRODUCTION_FILE} TEXT)
    string(REPLACE "namespace pitchfall" "namespace pitchfall_production" TEXT
           "${TEXT}")
    string(REPLACE "pitchfall::" "pitchfall_production::" TEXT "${TEXT}")
    string(REPLACE "PITCHFALL_" "PITCHFALL_PRODUCTION_" TEXT "${TEXT}")
    string(REPLACE "#include \"core/" "#include \"production/core/" TEXT
           "${TEXT}")
    string(REPLACE "#include \"wire/" "#include \"production/wire/" TEXT
           "${TEXT}")
    string(REGEX REPLACE "^@0x[0-9a-f]+" "@0xc4a1f6d2b8e3579f" TEXT "${TEXT}")
    file(WRITE ${PRODUCTION_FILE} "${TEXT}")
  endforeach()
  file(TOUCH ${PRODUCTION_DIR}/${PRODUCTION_COMMIT})
endif()

set(PRODUCTION_PEER ${PRODUCTION_DIR}/capnp/peer.capnp)
add_custom_command(
  OUTPUT ${PRODUCTION_PEER}.c++ ${PRODUCTION_PEER}.h
  COMMAND ${CAPNP_COMPILER} compile -oc++:${PRODUCTION_DIR}/capnp
          --src-prefix=${PRODUCTION_SOURCES}/wire
          ${PRODUCTION_SOURCES}/wire/peer.capnp
  DEPENDS ${PRODUCTION_SOURCES}/wire/peer.capnp)
file(GLOB_RECURSE PRODUCTION_CODE ${PRODUCTION_SOURCES}/*.cc)
add_library(pitchfall_production STATIC ${PRODUCTION_CODE} ${PRODUCTION_PEER}.c++)
target_compile_options(pitchfall_production PRIVATE -w)
target_include_directories(pitchfall_production SYSTEM
  PUBLIC ${PRODUCTION_DIR}/include PRIVATE ${PRODUCTION_DIR}/capnp)
target_link_libraries(pitchfall_production PUBLIC
  fmt::fmt Eigen3::Eigen PkgConfig::CAPNP)
