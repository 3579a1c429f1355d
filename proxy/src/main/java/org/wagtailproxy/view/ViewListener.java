package org.wagtailproxy.view;

/** Is notified of changes to the shared view; called without locks held. */
public interface ViewListener {

    /** Called after new versions of resources or of the instance list became active. */
    void onViewChanged();
}
