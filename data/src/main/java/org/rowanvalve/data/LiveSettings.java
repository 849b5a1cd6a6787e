package org.rowanvalve.data;

import java.util.List;
import org.rowanvalve.common.Timing;

/**
 * The settings of a node that may change while it runs.
 *
 * @param timing lease times and the greatest age of a frame; only the latter changes in a running node
 * @param extraRatio extra tries for each request to a service
 * @param extraSlack extra tries beside those, in any 10 s over all nodes
 * @param noticeMs how long a leaving edge still takes requests
 * @param places cells, or the beginnings of cells, that objects are filled for apart; never empty
 * @param wantedLosses how many voters may be lost at once; the voting set is made as large as that needs
 */
public record LiveSettings(
        Timing timing, double extraRatio, double extraSlack, long noticeMs, List<String> places, int wantedLosses) {
    private static final List<String> ONE_PLACE = List.of("");

    public LiveSettings {
        places = places.isEmpty() ? ONE_PLACE : List.copyOf(places);
    }
}
