package org.fallturn.it;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Dependencies between the Maven modules point one way: rehearsal to node to core. */
@AnalyzeClasses(packages = "org.fallturn", importOptions = ImportOption.DoNotIncludeTests.class)
class ModuleDirectionTest {

  @ArchTest
  static final ArchRule CORE_KNOWS_NO_OTHER_MODULE =
      noClasses()
          .that()
          .resideInAPackage("org.fallturn.core..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.fallturn.node..", "org.fallturn.rehearsal..");

  @ArchTest
  static final ArchRule NODE_KNOWS_NO_REHEARSAL =
      noClasses()
          .that()
          .resideInAPackage("org.fallturn.node..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.fallturn.rehearsal..");

  @ArchTest
  static final ArchRule NODE_STARTS_NO_PROCESS =
      noClasses()
          .that()
          .resideInAnyPackage("org.fallturn.core..", "org.fallturn.node..")
          .should()
          .dependOnClassesThat()
          .haveFullyQualifiedName(ProcessBuilder.class.getName())
          .orShould()
          .callMethod(Runtime.class, "exec", String.class);
}
