package org.rowanvalve.testkit.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rowanvalve.common.model.ValidationError;

/** The command "soak": checks what was asked for before anything starts, plays it, and tells what was found. */
public final class SoakCommand {
    private static final int CLEAN = 0;
    private static final int BROKEN = 1;
    private static final int USAGE = 2;
    private static final double MAX_MINUTES = 600;

    private final Path programs;
    private final PrintStream out;
    private final PrintStream errors;

    public SoakCommand(final Path programs, final PrintStream out, final PrintStream errors) {
        this.programs = programs;
        this.out = out;
        this.errors = errors;
    }

    /**
     * What is to be played.
     *
     * @param place the label of a {@link SoakPlace}; not needed with {@code replay}
     * @param edges how many edges, or 0 for a number by the seed
     * @param folder for plan, logs and report, or null for a new one
     * @param replay the folder of an earlier run whose plan is played again, or null
     * @param reduce whether a failing plan is reduced
     */
    public record Request(
            String place, long seed, double minutes, int edges, Path folder, Path replay, boolean reduce) {}

    /** The exit status: 0 clean, 1 something was found, 2 nothing was played. */
    public int run(final Request request) throws Exception {
        final List<ValidationError> faults = new ArrayList<>();
        final Optional<SoakPlan> plan = plan(request, faults);
        plan.ifPresent(known -> checkCapacity(known, faults));
        if (request.folder() != null && SoakRun.isUsed(request.folder())) {
            faults.add(new ValidationError("--dir", request.folder() + " is in use by an earlier run"));
        }
        if (!Files.isExecutable(programs.resolve("rwshield"))) {
            faults.add(new ValidationError(programs.toString(), "no programs there; build first"));
        }
        if (!faults.isEmpty() || plan.isEmpty()) {
            faults.forEach(fault -> errors.println("rwtestkit: " + fault));
            return USAGE;
        }
        final Path folder = request.folder() == null ? Files.createTempDirectory("soak") : request.folder();
        out.println("plan, logs and report in " + folder);
        final SoakReport report = new SoakRun(plan.get(), folder, programs).run();
        out.print(report.text());
        if (!report.isClean() && request.reduce()) {
            reduce(plan.get(), folder);
        }
        return report.isClean() ? CLEAN : BROKEN;
    }

    private Optional<SoakPlan> plan(final Request request, final List<ValidationError> faults) throws IOException {
        if (request.replay() != null) {
            return new SoakPlanFile(request.replay()).read(faults);
        }
        final Optional<SoakPlace> place = SoakPlace.of(request.place());
        if (place.isEmpty()) {
            faults.add(new ValidationError("argument 2", "stores or shields is wanted, not " + request.place()));
        }
        if (!(request.minutes() > 0 && request.minutes() <= MAX_MINUTES)) {
            faults.add(new ValidationError("--minutes", "more than 0 and at most " + MAX_MINUTES + " are wanted"));
        }
        if (request.edges() < 0) {
            faults.add(new ValidationError("--edges", "a number of edges is wanted"));
        }
        return faults.isEmpty()
                ? Optional.of(new SoakPlanGenerator(place.orElseThrow(), request.seed())
                        .plan(request.minutes(), request.edges()))
                : Optional.empty();
    }

    private static void checkCapacity(final SoakPlan plan, final List<ValidationError> faults) {
        try {
            SoakCapacity.here().lacks(plan).forEach(lack -> faults.add(new ValidationError("size", lack)));
        } catch (final IOException e) {
            faults.add(new ValidationError("size", e.getMessage()));
        }
    }

    private void reduce(final SoakPlan failing, final Path folder) throws Exception {
        final int[] attempt = {0};
        final SoakPlan smallest = new PlanReducer(candidate -> {
                    final Path next = folder.resolve("reduced-" + ++attempt[0]);
                    final boolean fails =
                            !new SoakRun(candidate, next, programs).run().isClean();
                    out.println(next.getFileName() + (fails ? " fails too" : " is clean"));
                    return fails;
                })
                .reduce(failing);
        new SoakPlanFile(folder).write(failing);
        final Path least = Files.createDirectories(folder.resolve("smallest"));
        new SoakPlanFile(least).write(smallest);
        out.println("the smallest plan that failed is in " + least);
    }
}
