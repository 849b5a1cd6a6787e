package org.rowanvalve.testkit;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Packages depend on each other one way only, and the planes know nothing of what runs them. */
class PackageStructureTest {
    private static final int FEWEST_CLASSES = 400;

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.rowanvalve");

    @Test
    void noPackageIsInACycle() {
        assertTrue(CLASSES.size() > FEWEST_CLASSES, CLASSES.size() + " classes");
        slices().matching("org.rowanvalve.(**)").should().beFreeOfCycles().check(CLASSES);
    }

    @Test
    void thePlanesKnowNeitherProgramsNorTestKit() {
        noClasses()
                .that()
                .resideInAnyPackage("org.rowanvalve.common..", "org.rowanvalve.control..", "org.rowanvalve.data..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.rowanvalve.server..", "org.rowanvalve.testkit..", "org.eclipse.jetty..")
                .check(CLASSES);
    }

    @Test
    void controlKnowsNothingOfTraffic() {
        noClasses()
                .that()
                .resideInAnyPackage("org.rowanvalve.common..", "org.rowanvalve.control..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.rowanvalve.data..")
                .check(CLASSES);
    }

    /** Everything of a node runs in its event loop; threads belong to programs and the test kit. */
    @Test
    void thePlanesStartNoThreads() {
        noClasses()
                .that()
                .resideInAnyPackage("org.rowanvalve.control..", "org.rowanvalve.data..")
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .check(CLASSES);
    }
}
