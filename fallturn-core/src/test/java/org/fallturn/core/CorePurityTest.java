package org.fallturn.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Instant;

/**
 * The core does no I/O, starts no thread and reads no clock, so that node and simulator share it.
 */
@AnalyzeClasses(
    packages = "org.fallturn.core",
    importOptions = ImportOption.DoNotIncludeTests.class)
class CorePurityTest {

  @ArchTest
  static final ArchRule DOES_NO_INPUT_OUTPUT =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "java.io..")
          .orShould()
          .dependOnClassesThat()
          .resideInAnyPackage("org.eclipse.jetty..", "org.slf4j..", "com.lmax..");

  @ArchTest
  static final ArchRule STARTS_NO_THREAD =
      noClasses()
          .should()
          .dependOnClassesThat()
          .haveFullyQualifiedName(Thread.class.getName())
          .orShould()
          .dependOnClassesThat()
          .resideInAnyPackage("java.util.concurrent.locks..")
          .orShould()
          .dependOnClassesThat()
          .haveNameMatching("java\\.util\\.concurrent\\.(Executor.*|.*ExecutorService)");

  @ArchTest
  static final ArchRule READS_NO_CLOCK =
      noClasses()
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(Instant.class, "now");

  @ArchTest
  static final ArchRule PORTS_DEPEND_ON_NO_LOGIC =
      noClasses()
          .that()
          .resideInAPackage("org.fallturn.core.port..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.fallturn.core.lease..",
              "org.fallturn.core.placement..",
              "org.fallturn.core.roles..",
              "org.fallturn.core.admission..",
              "org.fallturn.core.membership..",
              "org.fallturn.core.configuration..");
}
