package org.wagtailproxy.dispatcher;

import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.wagtailproxy.fleet.Evacuations;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.wire.Presence;

/**
 * Keeps the newest evacuations that this instance has read from the store or that a peer has
 * reported, so that a leader that has lost the store learns of them as well. Confined to the event
 * loop.
 */
final class EvacuationTracker {

    private final EventLog mLog;
    private Consumer<Evacuations> mListener = evacuations -> {};
    private Evacuations mEvacuations = Evacuations.UNKNOWN;

    EvacuationTracker(EventLog log) {
        mLog = log;
    }

    /** Sets what receives each change of the evacuated data centres. */
    void setListener(Consumer<Evacuations> listener) {
        mListener = listener;
    }

    Evacuations current() {
        return mEvacuations;
    }

    /** Applies evacuations if they are newer than the known ones. */
    void update(Evacuations evacuations, String source) {
        if (!evacuations.isNewerThan(mEvacuations)) {
            return;
        }
        Evacuations former = mEvacuations;
        mEvacuations = evacuations;
        logChanges(evacuations, former, EventName.EVACUATION_STARTED, source);
        logChanges(former, evacuations, EventName.EVACUATION_ENDED, source);
        if (!former.dataCentres().equals(evacuations.dataCentres())) {
            mListener.accept(evacuations);
        }
    }

    /** Applies what a peer reports. */
    void onPresence(Presence presence) {
        if (presence.getEvacuationRevision() <= mEvacuations.revision()) {
            return;
        }
        Set<DataCentre> dataCentres =
                presence.getEvacuatedDataCentresList().stream()
                        .filter(Names::isName)
                        .map(DataCentre::of)
                        .collect(Collectors.toSet());
        update(new Evacuations(presence.getEvacuationRevision(), dataCentres), "neighbour");
    }

    /** Adds what this instance knows to its presence, and returns the presence. */
    Presence.Builder addTo(Presence.Builder presence) {
        presence.setEvacuationRevision(mEvacuations.revision());
        mEvacuations
                .dataCentres()
                .forEach(dataCentre -> presence.addEvacuatedDataCentres(dataCentre.value()));
        return presence;
    }

    /** Logs the data centres that are evacuated in one state and not in another one. */
    private void logChanges(Evacuations in, Evacuations notIn, EventName event, String source) {
        Set<DataCentre> changed = new TreeSet<>(in.dataCentres());
        changed.removeAll(notIn.dataCentres());
        for (DataCentre dataCentre : changed) {
            mLog.event(event)
                    .with(EventField.RESOURCE, dataCentre)
                    .with(EventField.VERSION, mEvacuations.revision())
                    .with(EventField.REASON, source)
                    .info();
        }
    }
}
