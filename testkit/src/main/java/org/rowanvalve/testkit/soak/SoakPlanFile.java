package org.rowanvalve.testkit.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.control.json.Json;

/** The plan of a soak run as a file of its folder. */
final class SoakPlanFile {
    static final String NAME = "plan.json";
    private final Path file;

    SoakPlanFile(final Path folder) {
        this.file = folder.resolve(NAME);
    }

    boolean exists() {
        return Files.exists(file);
    }

    void write(final SoakPlan plan) throws IOException {
        Files.writeString(file, Json.write(plan) + "\n");
    }

    /** Empty where the file cannot be used; {@code errors} then says why. */
    Optional<SoakPlan> read(final List<ValidationError> errors) throws IOException {
        if (!Files.isReadable(file)) {
            errors.add(new ValidationError(file.toString(), "cannot be read"));
            return Optional.empty();
        }
        final SoakPlan plan;
        try {
            plan = Json.read(Files.readString(file), SoakPlan.class);
        } catch (final IllegalStateException e) {
            errors.add(new ValidationError(file.toString(), "is no plan of a soak run"));
            return Optional.empty();
        }
        check(plan, errors);
        return errors.isEmpty() ? Optional.of(plan) : Optional.empty();
    }

    private void check(final SoakPlan plan, final List<ValidationError> errors) {
        if (plan.version() != SoakPlan.CURRENT_VERSION) {
            errors.add(new ValidationError(
                    file + "/version",
                    "plans of version " + SoakPlan.CURRENT_VERSION + " are played, this is " + plan.version()));
            return;
        }
        if (SoakPlace.of(plan.place()).isEmpty()) {
            errors.add(new ValidationError(file + "/place", "no kind of network is named " + plan.place()));
        }
        if (plan.edges() < 1 || plan.shields() < 2 || plan.regions() < 1 || plan.regions() > 2) {
            errors.add(new ValidationError(
                    file.toString(), "one edge or more, two shields or more and one or two regions are wanted"));
        }
        if (plan.rounds() == null || plan.rounds().isEmpty()) {
            errors.add(new ValidationError(file + "/rounds", "has none"));
        }
    }
}
