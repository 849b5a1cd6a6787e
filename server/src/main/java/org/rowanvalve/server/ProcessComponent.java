package org.rowanvalve.server;

import dagger.Component;
import javax.inject.Singleton;
import org.eclipse.jetty.client.HttpClient;
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.Journal;
import org.rowanvalve.data.Node;

/** The objects of one process, put together by Dagger. */
@Singleton
@Component(modules = ProcessModule.class)
public interface ProcessComponent {
    CoreLoop loop();

    Journal journal();

    TcpNet net();

    Disk disk();

    HttpClient client();

    Node node();
}
