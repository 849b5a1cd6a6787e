package org.rowanvalve.data;

import java.util.List;
import java.util.function.Consumer;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;

/** Fetches one outcome with its body: the next keeper is asked when one has none, or is late. */
final class OutcomeFetch {
    private static final long WAIT = 1500;
    private static final long LATE = 400;
    private final Loop loop;
    private final Net net;
    private final List<NodeId> keepers;
    private final String key;
    private final Consumer<Msg.Outcome> then;
    private int asked;
    private int answered;
    private boolean over;

    /** {@code then} hears the outcome, or null where no keeper gave one. */
    OutcomeFetch(
            final Loop loop,
            final Net net,
            final List<NodeId> keepers,
            final String key,
            final Consumer<Msg.Outcome> then) {
        this.loop = loop;
        this.net = net;
        this.keepers = keepers;
        this.key = key;
        this.then = then;
    }

    void start() {
        next(0);
    }

    /** Asks the keeper at {@code turn}, unless it was asked already. */
    private void next(final int turn) {
        if (over || turn != asked || turn >= keepers.size()) {
            return;
        }
        asked++;
        net.ask(keepers.get(turn), new Msg.KeepOutcome(key), WAIT, r -> {
            answered++;
            final Msg.Note note =
                    r.as(Msg.KeptOutcome.class).map(Msg.KeptOutcome::note).orElse(null);
            if (note != null && note.outcome() != null && note.outcome().done()) {
                end(note.outcome());
            } else if (answered == keepers.size()) {
                end(null);
            } else {
                next(turn + 1);
            }
        });
        loop.after(LATE, () -> next(turn + 1));
    }

    private void end(final Msg.Outcome outcome) {
        if (!over) {
            over = true;
            then.accept(outcome);
        }
    }
}
