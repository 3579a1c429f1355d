package org.wagtailproxy.view;

/** Is told when something came into force; called without locks held. */
public interface ViewListener {

    /** Reacts to new versions of resources or of the instance list. */
    void onViewChanged();
}
