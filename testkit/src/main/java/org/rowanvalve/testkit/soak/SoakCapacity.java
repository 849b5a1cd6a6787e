package org.rowanvalve.testkit.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.testkit.scale.MachineCapacity;

/**
 * Whether the processes of a plan fit into half of this machine's memory.
 *
 * @param memoryMb of the whole machine
 * @param files that this process may have open
 */
record SoakCapacity(long memoryMb, long files) {
    /** Resident memory of one process, with some room. */
    static final long PROCESS_MB = 160;

    static final long OWN_MB = 1024;
    private static final int MAX_PROCESSES = 300;
    private static final long FILES_PER_LINK = 5;
    private static final long OWN_FILES = 2000;

    static SoakCapacity here() throws IOException {
        final MachineCapacity machine = MachineCapacity.here();
        return new SoakCapacity(machine.memoryMb(), machine.files());
    }

    /** Why the plan does not fit; empty where it does. */
    List<String> lacks(final SoakPlan plan) {
        final int processes = plan.deployment().machines().size();
        final List<String> lacks = new ArrayList<>();
        final long needMb = OWN_MB + processes * PROCESS_MB;
        if (needMb > memoryMb / 2) {
            lacks.add(processes + " processes need " + needMb + " MB, half of this machine's memory is " + memoryMb / 2
                    + " MB");
        }
        if (processes > MAX_PROCESSES) {
            lacks.add(processes + " processes are too many, " + MAX_PROCESSES + " may run");
        }
        final long needFiles = OWN_FILES + FILES_PER_LINK * processes * (processes - 1);
        if (needFiles > files) {
            lacks.add(processes + " processes need " + needFiles + " open files for their links, " + files
                    + " are allowed");
        }
        return lacks;
    }
}
