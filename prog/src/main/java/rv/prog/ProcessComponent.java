package rv.prog;

import dagger.Component;
import javax.inject.Singleton;
import org.eclipse.jetty.client.HttpClient;
import rv.base.Disk;
import rv.base.Journal;
import rv.data.Node;

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
